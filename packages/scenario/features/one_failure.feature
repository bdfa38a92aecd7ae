Feature: one failure at a time

  Background:
    Given entries "A, B and C" and sides "s1, s2 and s3" with 1 slot each
    And job J of 2 tasks that entry A owns

  Scenario: nothing fails
    When the caller submits job J to entry B
    Then job J ends complete within 1000 ms

  Scenario: the owner is killed while its tasks run
    When the caller submits job J to entry B
    And 100 ms pass
    And entry A is killed
    Then job J ends complete within 6000 ms
    And 2 tasks of job J have started

  Scenario: the owner is killed before the first start
    When the caller submits job J to entry A
    And entry A is killed
    Then job J ends complete within 8000 ms

  Scenario: the entry that forwarded is killed
    When the caller submits job J to entry B
    And 100 ms pass
    And entry B is killed
    Then job J ends complete within 8000 ms

  Scenario: a side is killed while a task runs
    When the caller submits job J to entry A
    And 50 ms pass
    And side s1 is killed
    And side s2 is killed
    Then job J ends with verdict mayHaveRun within 20000 ms

  Scenario: a killed side comes back, and its task is in doubt at once
    When the caller submits job J to entry A
    And 50 ms pass
    And side s1 is killed
    And side s2 is killed
    And side s3 is killed
    And side s1 is started
    And side s2 is started
    And side s3 is started
    Then job J ends with verdict mayHaveRun within 1500 ms

  Scenario: a backend server refuses connections
    When the backend server of side s1 goes down
    And the backend server of side s2 goes down
    And the caller submits job J to entry A
    Then job J ends complete within 5000 ms

  Scenario: a backend server fails everything that it starts
    When the backend server of side s1 fails every task
    And the backend server of side s2 fails every task
    And the backend server of side s3 fails every task
    And the caller submits job J to entry A
    Then job J ends failed within 2000 ms
    And job J ends with verdict ran within 10 ms

  Scenario: a straggler makes the answer late
    Given tasks on side s1 take 12000 ms
    And tasks on side s2 take 12000 ms
    And tasks on side s3 take 12000 ms
    When the caller submits job J to entry A
    Then job J ends complete within 15000 ms
    And job J is answered late

  Scenario: the store is down
    When the store goes down
    And 20000 ms pass
    And the caller submits job J to entry B
    Then job J ends complete within 1000 ms

  Scenario: a lease lapses unknown to its holder
    When the caller submits job J to entry B
    And 20 ms pass
    And the lease of entry A lapses
    Then job J ends complete within 3000 ms

  Scenario: an entry is paused, loses its lease, and wakes
    When the caller submits job J to entry A
    And 20 ms pass
    And entry A is paused
    And 5000 ms pass
    And the caller resubmits job J to entry B
    And 1000 ms pass
    And entry A wakes
    Then job J ends complete within 5000 ms

  Scenario: a side is paused for long
    When the caller submits job J to entry A
    And 20 ms pass
    And side s1 is paused
    And side s2 is paused
    And side s3 is paused
    And 2500 ms pass
    And side s1 wakes
    And side s2 wakes
    And side s3 wakes
    Then job J ends complete within 5000 ms

  Scenario: a connection between a side and the owner goes silent
    When the link between s1 and A goes silent
    And the link between s2 and A goes silent
    And the link between s3 and A goes silent
    And the caller submits job J to entry A
    Then job J ends complete within 8000 ms

  Scenario: the connection between two entries goes silent
    When the link between A and B goes silent
    And the caller submits job J to entry B
    Then job J ends complete within 8000 ms

  Scenario: a connection goes silent while a task runs
    When the caller submits job J to entry A
    And 20 ms pass
    And the link between s1 and A goes silent
    And the link between s2 and A goes silent
    And the link between s3 and A goes silent
    Then job J ends complete within 8000 ms

  Scenario: a drained entry hands its jobs over
    When the caller submits job J to entry B
    And 20 ms pass
    And entry A is stopped
    Then job J ends complete within 2000 ms

  Scenario: the drain of an entry loses its store answer
    When the caller submits job J to entry B
    And the store loses the answer of the next write
    And entry A is stopped
    Then job J ends complete within 3000 ms

  Scenario: a cancelled job starts no more tasks
    Given job K of 6 tasks that entry B owns
    When the caller submits job K to entry A
    And 20 ms pass
    And the caller cancels job K at entry C
    Then job K ends failed within 1000 ms
    And 3 tasks of job K have started
