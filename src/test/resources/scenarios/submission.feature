Feature: Submission is idempotent: no task of a submission starts twice, even when a client resubmits

  Background:
    Given 3 entries and 2 workers in each of "plovdiv, sofia, burgas"

  Scenario: Two clients resubmit one key at two entries at once
    When a caller submits "van" of 6 tasks at entry 1
    And the caller resubmits "van" at entry 2
    And the caller resubmits "van" at entry 3
    And 5 seconds pass
    Then every answer to "van" is COMPLETED
    And 6 tasks of "van" started
    And every promise holds

  Scenario: The same key later gives the same answer and starts nothing
    When a caller submits "van" of 6 tasks at entry 1
    And 5 seconds pass
    And the caller resubmits "van" at entry 2
    And 5 seconds pass
    Then every answer to "van" is COMPLETED
    And 6 tasks of "van" started

  Scenario: The same key with another body is refused and the first answer stays
    When a caller submits "van" of 6 tasks at entry 1
    And 5 seconds pass
    And a caller submits "van" of 6 tasks again with another body at entry 2
    And 5 seconds pass
    Then the last answer to "van" is NOT_RUN with KEY_REUSED
    And 6 tasks of "van" started

  Scenario: The owner is killed between the claim and the first start
    When a caller submits "van" of 6 tasks at its owner
    And the claim of "van" stands in the log
    And the owner of "van" is killed
    And the caller resubmits "van" at another live entry
    And 25 seconds pass
    Then the last answer to "van" is MAY_HAVE_RUN
    And every promise holds

  Scenario: The owner is killed between the start and the answer
    When a caller submits "van" of 6 tasks at its owner
    And the first task of "van" has started
    And 50 milliseconds pass
    And the owner of "van" is killed
    And the caller resubmits "van" at another live entry
    And 25 seconds pass
    Then the last answer to "van" is COMPLETED
    And 6 tasks of "van" started
    And every promise holds

  Scenario: The owner pauses for a minute after the claim and wakes after the takeover
    When a caller submits "van" of 6 tasks at its owner
    And the claim of "van" stands in the log
    And the owner of "van" is paused
    And the caller resubmits "van" at another live entry
    And 60 seconds pass
    And the paused entry wakes up
    And 30 seconds pass
    Then every promise holds

  Scenario: Every answer of the log is lost after the write took effect
    When every answer of the log is lost after the write
    And a caller submits "van" of 6 tasks at entry 1
    And 15 seconds pass
    Then every answer to "van" is COMPLETED
    And 6 tasks of "van" started

  Scenario: The log loses an answer while two entries claim one key and a worker restarts
    When every answer of the log is lost after the write
    And a caller submits "van" of 6 tasks at entry 1
    And the caller resubmits "van" at entry 2
    And the first task of "van" has started
    And worker "sofia-1" restarts
    And the log answers again
    And 30 seconds pass
    Then "van" was answered
    And every promise holds
