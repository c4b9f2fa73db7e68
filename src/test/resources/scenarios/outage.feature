Feature: While the log is unavailable, jobs with tickets run and jobs with plain keys wait

  Background:
    Given 3 entries and 2 workers in each of "plovdiv, sofia, burgas"

  Scenario: The log is unavailable for ten minutes while jobs with tickets and with plain keys arrive
    When a caller fetches a ticket "booking-1" from entry 1
    And a caller fetches a ticket "booking-2" from entry 2
    And the log is unavailable
    And 60 seconds pass
    And a caller submits "booking-1" of 4 tasks at entry 1
    And a caller submits "booking-2" of 4 tasks at entry 3
    And a caller submits "kiosk" of 1 tasks at entry 2
    And 5 seconds pass
    Then every outcome of "booking-1" is COMPLETED
    And every outcome of "booking-2" is COMPLETED
    And "kiosk" has no outcome yet
    When 535 seconds pass
    Then the last outcome of "kiosk" is MAY_HAVE_RUN with LOG_UNAVAILABLE
    And 0 tasks of "kiosk" started
    When the log is available again
    And 5 seconds pass
    And the caller resubmits "kiosk" at entry 3
    And 5 seconds pass
    Then the last outcome of "kiosk" is COMPLETED
    And 1 tasks of "kiosk" started
    And every invariant holds

  Scenario: A job whose ticket was issued by a dead entry is never started by another entry
    When a caller fetches a ticket "booking" from entry 1
    And entry 1 is killed
    And a caller submits "booking" of 4 tasks at entry 2
    And 25 seconds pass
    Then the last outcome of "booking" is MAY_HAVE_RUN
    And 0 tasks of "booking" started

  Scenario: A waiting plain key is claimed once the log is available again
    When the log is unavailable
    And a caller submits "kiosk" of 1 tasks at entry 2
    And 10 seconds pass
    And the log is available again
    And 5 seconds pass
    Then the last outcome of "kiosk" is COMPLETED
    And every invariant holds

  Scenario: Slow log writes delay the claim but lose no job
    When log writes take 3 seconds
    And a caller submits "kiosk" of 1 tasks at entry 2
    And 15 seconds pass
    Then the last outcome of "kiosk" is COMPLETED
    And 1 tasks of "kiosk" started
