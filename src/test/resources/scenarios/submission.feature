Feature: Submission is idempotent: no task of a submission starts twice, even when a client resubmits

  Background:
    Given 3 entries and 2 workers in each of "plovdiv, sofia, burgas"

  Scenario: Two clients resubmit one key at two entries at once
    When a caller submits "van" of 6 tasks at entry 1
    And the caller resubmits "van" at entry 2
    And the caller resubmits "van" at entry 3
    And 5 seconds pass
    Then every outcome of "van" is COMPLETED
    And 6 tasks of "van" started
    And every invariant holds

  Scenario: A key submitted again later gets the same outcome and starts no task
    When a caller submits "van" of 6 tasks at entry 1
    And 5 seconds pass
    And the caller resubmits "van" at entry 2
    And 5 seconds pass
    Then every outcome of "van" is COMPLETED
    And 6 tasks of "van" started

  Scenario: The same key with another body is rejected and the first outcome stays
    When a caller submits "van" of 6 tasks at entry 1
    And 5 seconds pass
    And a caller submits "van" of 6 tasks again with another body at entry 2
    And 5 seconds pass
    Then the last outcome of "van" is NOT_RUN with KEY_REUSED
    And 6 tasks of "van" started

  Scenario: The owner is killed between the claim and the first start
    When a caller submits "van" of 6 tasks at its owner
    And the claim of "van" is in the log
    And the owner of "van" is killed
    And the caller resubmits "van" at another live entry
    And 25 seconds pass
    Then the last outcome of "van" is MAY_HAVE_RUN
    And every invariant holds

  Scenario: The owner is killed between the first start and the outcome
    When a caller submits "van" of 6 tasks at its owner
    And the first task of "van" has started
    And 50 milliseconds pass
    And the owner of "van" is killed
    And the caller resubmits "van" at another live entry
    And 25 seconds pass
    Then the last outcome of "van" is COMPLETED
    And 6 tasks of "van" started
    And every invariant holds

  Scenario: The owner pauses for a minute after the claim and resumes after the takeover
    When a caller submits "van" of 6 tasks at its owner
    And the claim of "van" is in the log
    And the owner of "van" is paused
    And the caller resubmits "van" at another live entry
    And 60 seconds pass
    And the paused entry resumes
    And 30 seconds pass
    Then every invariant holds

  Scenario: Every response of the log is lost after the write took effect
    When every response of the log is lost after the write
    And a caller submits "van" of 6 tasks at entry 1
    And 15 seconds pass
    Then every outcome of "van" is COMPLETED
    And 6 tasks of "van" started

  Scenario: Log responses are lost while two entries claim one key and a worker restarts
    When every response of the log is lost after the write
    And a caller submits "van" of 6 tasks at entry 1
    And the caller resubmits "van" at entry 2
    And the first task of "van" has started
    And worker "sofia-1" restarts
    And responses of the log arrive again
    And 30 seconds pass
    Then "van" has an outcome
    And every invariant holds
