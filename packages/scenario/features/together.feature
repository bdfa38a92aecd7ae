Feature: failures together, and twice

  Background:
    Given entries "A, B and C" and sides "s1, s2 and s3" with 1 slot each
    And job J of 2 tasks that entry A owns

  Scenario: two of three entries are lost at once
    When the caller submits job J to entry C
    And 100 ms pass
    And entry A is killed
    And entry B is killed
    Then job J ends complete within 8000 ms

  Scenario: two of three entries are lost and a side is out of reach
    When the caller submits job J to entry C
    And 100 ms pass
    And s1 and C are cut off from each other
    And entry A is killed
    And entry B is killed
    And 10000 ms pass
    And s1 and C reach each other again
    Then job J ends complete within 20000 ms

  Scenario: all entries are lost and replaced
    When the caller submits job J to entry C
    And 100 ms pass
    And entry A is killed
    And entry B is killed
    And entry C is killed
    And entry A is started
    And entry B is started
    And entry C is started
    Then every job has an answer within 60000 ms

  Scenario: the owner and a side that ran its task are lost together
    When the caller submits job J to entry B
    And 100 ms pass
    And side s1 is killed
    And side s2 is killed
    And side s3 is killed
    And entry A is killed
    And side s1 is started
    And side s2 is started
    And side s3 is started
    Then job J ends with verdict mayHaveRun within 30000 ms

  Scenario: a side leaves, and later the owner of what it ran is lost
    When the caller submits job J to entry B
    And 1000 ms pass
    And side s1 is stopped
    And side s2 is stopped
    And 2000 ms pass
    And entry A is killed
    And 5000 ms pass
    And the caller resubmits job J to entry C
    Then job J ends with verdict mayHaveRun within 30000 ms

  Scenario: the owner is lost twice
    Given tasks on side s1 take 6000 ms
    And tasks on side s2 take 6000 ms
    And tasks on side s3 take 6000 ms
    When the caller submits job J to entry C
    And 100 ms pass
    And entry A is killed
    And 3500 ms pass
    And entry B is killed
    Then job J ends complete within 20000 ms

  Scenario: a new entry joins while another is replaced
    When the caller submits job J to entry B
    And 100 ms pass
    And entry A is killed
    And entry D is started
    And 2990 ms pass
    And entry E is started
    Then job J ends complete within 20000 ms

  Scenario: the store is out while the owner is lost
    When the caller submits job J to entry B
    And 100 ms pass
    And the store goes down
    And entry A is killed
    And 3000 ms pass
    And the store is back
    Then job J ends complete within 10000 ms

  Scenario: the store loses the answers of a takeover
    When the caller submits job J to entry B
    And 100 ms pass
    And entry A is killed
    And the store loses the answer of the next write
    Then job J ends complete within 10000 ms

  Scenario: the store is out twice
    When the store goes down
    And 4000 ms pass
    And the store is back
    And 1000 ms pass
    And the store goes down
    And 4000 ms pass
    And the store is back
    And 5000 ms pass
    And the caller submits job J to entry B
    Then job J ends complete within 40000 ms

  Scenario: a lease lapses twice
    When the caller submits job J to entry B
    And 20 ms pass
    And the lease of entry A lapses
    And 50 ms pass
    And the lease of entry A lapses
    Then job J ends complete within 8000 ms

  Scenario: a paused owner wakes with starts on their way
    Given job K of 6 tasks that entry A owns
    When the caller submits job K to entry A
    And entry A is paused
    And 6000 ms pass
    And the caller resubmits job K to entry B
    And 100 ms pass
    And entry A wakes
    Then every job has an answer within 30000 ms

  Scenario: the owner loses its lease and one side sees only the owner
    Given job K of 6 tasks that entry A owns
    When B and s1 are cut off from each other
    And C and s1 are cut off from each other
    And the caller submits job K to entry A
    And 100 ms pass
    And entry A cannot reach the store
    And A and B are cut off from each other
    And A and C are cut off from each other
    And 4000 ms pass
    And the caller resubmits job K to entry B
    And 4000 ms pass
    Then every job has an answer within 60000 ms

  Scenario: a connection goes silent twice
    When the caller submits job J to entry A
    And 20 ms pass
    And the link between s1 and A goes silent
    And the link between s2 and A goes silent
    And the link between s3 and A goes silent
    And 3500 ms pass
    And the link between s1 and A goes silent
    And the link between s2 and A goes silent
    And the link between s3 and A goes silent
    Then job J ends complete within 12000 ms

  Scenario: a start arrives late, after its side was given up
    When messages between A and s1 are held up
    And the caller submits job J to entry A
    And 5000 ms pass
    And messages between A and s1 arrive
    Then job J ends complete within 15000 ms

  Scenario: streams arrive in the wrong order
    When messages between A and s1 are held up
    And the caller submits job J to entry A
    And 5000 ms pass
    And messages between A and s1 arrive, newest stream first
    Then job J ends complete within 15000 ms

  Scenario: an answer crosses a resubmission
    When messages between A and B are held up
    And the caller submits job J to entry B
    And 10 ms pass
    And the caller resubmits job J to entry C
    And 1000 ms pass
    And messages between A and B arrive
    Then every job is complete within 5000 ms

  Scenario: a job is resubmitted to every entry during a hand-over
    When the caller submits job J to entry A
    And entry A is stopped
    And the caller resubmits job J to entry B
    And 3 ms pass
    And the caller resubmits job J to entry C
    Then every job is complete within 5000 ms

  Scenario: an owner is stopped while another entry is lost
    When the caller submits job J to entry C
    And 100 ms pass
    And entry B is killed
    And entry A is stopped
    Then job J ends complete within 10000 ms

  Scenario: a wave of cancellations
    When callers submit 40 jobs, one every 5 ms, to entries "A, B and C"
    And the callers cancel everything
    Then every job has an answer within 5000 ms

  Scenario: a wave of cancellations while an entry is lost
    When callers submit 40 jobs, one every 5 ms, to entries "A, B and C"
    And entry B is killed
    And the callers cancel everything
    Then every job has an answer within 30000 ms

  Scenario: a cancelled job stays cancelled when its owner is lost at once
    When the caller submits job J to entry A
    And the caller submits job J to entry B
    And the caller cancels job J at entry A
    And 5 ms pass
    And entry A is killed
    Then job J ends with verdict notRun within 20000 ms
    And 0 tasks of job J have started
