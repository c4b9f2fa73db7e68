Feature: While the log is out bookings go on under tickets, and plain keys are held

  Background:
    Given 3 entries and 2 workers in each of "plovdiv, sofia, burgas"

  Scenario: The log is out for ten minutes with bookings and kiosk queries arriving
    When a caller fetches a ticket "booking-1" from entry 1
    And a caller fetches a ticket "booking-2" from entry 2
    And the log is out
    And 60 seconds pass
    And a caller submits "booking-1" of 4 tasks at entry 1
    And a caller submits "booking-2" of 4 tasks at entry 3
    And a caller submits "kiosk" of 1 tasks at entry 2
    And 5 seconds pass
    Then every answer to "booking-1" is COMPLETED
    And every answer to "booking-2" is COMPLETED
    And "kiosk" has no answer yet
    When 535 seconds pass
    Then the last answer to "kiosk" is MAY_HAVE_RUN with LOG_UNAVAILABLE
    And 0 tasks of "kiosk" started
    When the log is back
    And 5 seconds pass
    And the caller resubmits "kiosk" at entry 3
    And 5 seconds pass
    Then the last answer to "kiosk" is COMPLETED
    And 1 tasks of "kiosk" started
    And every promise holds

  Scenario: A ticket whose entry died is never started by another
    When a caller fetches a ticket "booking" from entry 1
    And entry 1 is killed
    And a caller submits "booking" of 4 tasks at entry 2
    And 25 seconds pass
    Then the last answer to "booking" is MAY_HAVE_RUN
    And 0 tasks of "booking" started

  Scenario: A plain key that was held is claimed once the log is back
    When the log is out
    And a caller submits "kiosk" of 1 tasks at entry 2
    And 10 seconds pass
    And the log is back
    And 5 seconds pass
    Then the last answer to "kiosk" is COMPLETED
    And every promise holds

  Scenario: Slow writes delay the claim and lose nothing
    When writes of the log take 3 seconds
    And a caller submits "kiosk" of 1 tasks at entry 2
    And 15 seconds pass
    Then the last answer to "kiosk" is COMPLETED
    And 1 tasks of "kiosk" started
