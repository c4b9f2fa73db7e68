Feature: A refusal that says "not run" is true

  Scenario: A stale copy at a paused owner never starts what was told not run
    Given 3 entries and 1 workers in each of "plovdiv"
    When the target of worker "plovdiv-1" is leaving
    And 2 seconds pass
    And the owner of "van" is paused
    And a caller submits "van" of 3 tasks at an entry that does not own it
    And 10 seconds pass
    Then the last answer to "van" is NOT_RUN with NO_TARGET
    When worker "plovdiv-1" restarts
    And 3 seconds pass
    And the paused entry wakes up
    And 20 seconds pass
    Then 0 tasks of "van" started
    And every promise holds

  Scenario: A key that was told not run may be submitted again and then runs once
    Given 2 entries and 1 workers in each of "plovdiv"
    When the target of worker "plovdiv-1" is leaving
    And 2 seconds pass
    And a caller submits "van" of 3 tasks at entry 1
    And 5 seconds pass
    Then the last answer to "van" is NOT_RUN with NO_TARGET
    When worker "plovdiv-1" restarts
    And 3 seconds pass
    And the caller resubmits "van" at entry 2
    And 5 seconds pass
    Then the last answer to "van" is COMPLETED
    And 3 tasks of "van" started
    And every promise holds

  Scenario: A target that takes no connection costs nothing but time
    Given 2 entries and 2 workers in each of "plovdiv"
    When the target of worker "plovdiv-1" takes no connection
    And a caller submits "van" of 12 tasks at entry 1
    And 15 seconds pass
    Then every answer to "van" is COMPLETED
    And 12 tasks of "van" started
    And every promise holds

  Scenario: A task that failed leaves its job failed, never partial, and is not started again
    Given 2 entries and 1 workers in each of "plovdiv"
    When the target of worker "plovdiv-1" fails everything
    And a caller submits "van" of 3 tasks at entry 1
    And 5 seconds pass
    And the caller resubmits "van" at entry 2
    And 5 seconds pass
    Then every answer to "van" is FAILED
    And every promise holds

  Scenario: An entry that was paused does not start what it finds waiting
    Given 2 entries and 1 workers in each of "plovdiv"
    When entry 1 is paused
    And a caller submits "van" of 3 tasks at entry 1
    And 10 seconds pass
    And the target of worker "plovdiv-1" is leaving
    And 2 seconds pass
    And the caller resubmits "van" at entry 2
    And 5 seconds pass
    Then the last answer to "van" is NOT_RUN with NO_TARGET
    When worker "plovdiv-1" restarts
    And 3 seconds pass
    And entry 1 wakes up
    And 20 seconds pass
    Then 0 tasks of "van" started
    And every promise holds
