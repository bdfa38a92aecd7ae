Feature: planned stops under load

  Background:
    Given entries "A, B and C" and sides "s1, s2, s3 and s4"

  Scenario: an entry is replaced under load
    When callers submit 15 jobs, one every 100 ms, to entries "A, B and C"
    And entry A is stopped
    And callers submit 30 jobs, one every 100 ms, to entries "B and C"
    And entry A is started
    And callers submit 30 jobs, one every 100 ms, to entries "A, B and C"
    Then every job is complete within 10000 ms

  Scenario: every entry is replaced in turn
    When callers submit 10 jobs, one every 100 ms, to entries "A, B and C"
    And entry A is stopped
    And callers submit 30 jobs, one every 100 ms, to entries "B and C"
    And entry A is started
    And callers submit 30 jobs, one every 100 ms, to entries "A, B and C"
    And entry B is stopped
    And callers submit 30 jobs, one every 100 ms, to entries "A and C"
    And entry B is started
    And callers submit 30 jobs, one every 100 ms, to entries "A, B and C"
    And entry C is stopped
    And callers submit 30 jobs, one every 100 ms, to entries "A and B"
    And entry C is started
    And callers submit 10 jobs, one every 100 ms, to entries "A, B and C"
    Then every job is complete within 10000 ms

  Scenario: a side is replaced under load
    When callers submit 15 jobs, one every 100 ms, to entries "A, B and C"
    And side s1 is stopped
    And callers submit 30 jobs, one every 100 ms, to entries "A, B and C"
    And side s1 is started
    And callers submit 30 jobs, one every 100 ms, to entries "A, B and C"
    Then every job is complete within 10000 ms

  Scenario: a side and an entry are stopped together
    When callers submit 15 jobs, one every 100 ms, to entries "A, B and C"
    And side s1 is stopped
    And entry B is stopped
    And callers submit 30 jobs, one every 100 ms, to entries "A and C"
    Then every job is complete within 10000 ms

  Scenario: two entries are stopped together
    When callers submit 15 jobs, one every 100 ms, to entries "A, B and C"
    And entry A is stopped
    And entry B is stopped
    And callers submit 30 jobs, one every 100 ms, to entries "C"
    Then every job is complete within 10000 ms

  Scenario: an entry is killed under load
    When callers submit 15 jobs, one every 100 ms, to entries "A, B and C"
    And entry A is killed
    And callers submit 30 jobs, one every 100 ms, to entries "B and C"
    Then every job has an answer within 20000 ms
