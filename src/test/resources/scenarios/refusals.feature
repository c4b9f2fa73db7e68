Feature: No task of a job that was reported as NOT_RUN starts afterwards

  Scenario: A paused owner never starts a job that was reported as NOT_RUN
    Given 3 entries and 1 workers in each of "plovdiv"
    When the target of worker "plovdiv-1" deregisters
    And 2 seconds pass
    And the owner of "van" is paused
    And a caller submits "van" of 3 tasks at an entry that does not own it
    And 10 seconds pass
    Then the last outcome of "van" is NOT_RUN with NO_TARGET
    When worker "plovdiv-1" restarts
    And 3 seconds pass
    And the paused entry resumes
    And 20 seconds pass
    Then 0 tasks of "van" started
    And every invariant holds

  Scenario: A key reported as NOT_RUN may be submitted again and then runs once
    Given 2 entries and 1 workers in each of "plovdiv"
    When the target of worker "plovdiv-1" deregisters
    And 2 seconds pass
    And a caller submits "van" of 3 tasks at entry 1
    And 5 seconds pass
    Then the last outcome of "van" is NOT_RUN with NO_TARGET
    When worker "plovdiv-1" restarts
    And 3 seconds pass
    And the caller resubmits "van" at entry 2
    And 5 seconds pass
    Then the last outcome of "van" is COMPLETED
    And 3 tasks of "van" started
    And every invariant holds

  Scenario: Tasks of a target that refuses connections run on another target
    Given 2 entries and 2 workers in each of "plovdiv"
    When the target of worker "plovdiv-1" refuses connections
    And a caller submits "van" of 12 tasks at entry 1
    And 15 seconds pass
    Then every outcome of "van" is COMPLETED
    And 12 tasks of "van" started
    And every invariant holds

  Scenario: A failed task makes the whole job FAILED and is not started again
    Given 2 entries and 1 workers in each of "plovdiv"
    When the target of worker "plovdiv-1" fails every task
    And a caller submits "van" of 3 tasks at entry 1
    And 5 seconds pass
    And the caller resubmits "van" at entry 2
    And 5 seconds pass
    Then every outcome of "van" is FAILED
    And every invariant holds

  Scenario: An entry that resumes does not start the jobs that waited during its pause
    Given 2 entries and 1 workers in each of "plovdiv"
    When entry 1 is paused
    And a caller submits "van" of 3 tasks at entry 1
    And 10 seconds pass
    And the target of worker "plovdiv-1" deregisters
    And 2 seconds pass
    And the caller resubmits "van" at entry 2
    And 5 seconds pass
    Then the last outcome of "van" is NOT_RUN with NO_TARGET
    When worker "plovdiv-1" restarts
    And 3 seconds pass
    And entry 1 resumes
    And 20 seconds pass
    Then 0 tasks of "van" started
    And every invariant holds
