Feature: A few seconds after an operator takes an availability zone out, no task starts there

  Background:
    Given 3 entries and 2 workers in each of "plovdiv, sofia, burgas"

  Scenario: Drain and open of one zone race from two operators
    When operator "night" plans "drain sofia" at entry 1 as "drain"
    And operator "day" plans "open sofia" at entry 2 as "open"
    And operator "night" confirms "drain" at entry 1
    And 1 seconds pass
    And operator "day" confirms "open" at entry 2
    And 5 seconds pass
    Then the confirmation of "drain" is accepted
    And the confirmation of "open" is refused as CONFLICT
    And the zone "sofia" is closed at entry 3
    And entry 3 says that "drain" is in force

  Scenario: Two operators confirm at the same moment and only one counts
    When operator "night" plans "drain sofia" at entry 1 as "left"
    And operator "day" plans "drain burgas" at entry 2 as "right"
    And operator "night" confirms "left" at entry 1
    And operator "day" confirms "right" at entry 2
    And 5 seconds pass
    Then the confirmation of "left" is accepted
    And the confirmation of "right" is refused as CONFLICT
    And every promise holds

  Scenario: Work goes on elsewhere while a zone is drained
    When operator "night" plans "drain sofia" at entry 1 as "drain"
    And operator "night" confirms "drain" at entry 1
    And 4 seconds pass
    And from here on it counts
    And a caller submits "van" of 30 tasks at entry 2
    And 10 seconds pass
    Then every answer to "van" is COMPLETED
    And 0 tasks started in "sofia" since it counts
    And every promise holds

  Scenario: A zone that is opened again takes work again
    When operator "night" plans "drain sofia" at entry 1 as "drain"
    And operator "night" confirms "drain" at entry 1
    And 4 seconds pass
    And operator "night" plans "open sofia" at entry 2 as "open"
    And operator "night" confirms "open" at entry 2
    And 4 seconds pass
    And from here on it counts
    And a caller submits "van" of 40 tasks at entry 2
    And 10 seconds pass
    Then every answer to "van" is COMPLETED
    And some tasks started in "sofia" since it counts

  Scenario: An entry cut off from the log and from its peers while a zone is closed
    When entry 3 is cut off from the log and from the other entries
    And operator "night" plans "drain sofia" at entry 1 as "drain"
    And operator "night" confirms "drain" at entry 1
    And 4 seconds pass
    And from here on it counts
    And a caller fetches a ticket "booking" from entry 3
    And a caller submits "booking" of 20 tasks at entry 3
    And 25 seconds pass
    Then the confirmation of "drain" is accepted
    And 0 tasks started in "sofia" since it counts

  Scenario: An entry that reaches no other entry does not take a confirmation
    When operator "night" plans "drain sofia" at entry 3 as "drain"
    And entry 3 is cut off from the log and from the other entries
    And 5 seconds pass
    And operator "night" confirms "drain" at entry 3
    And 15 seconds pass
    Then the confirmation of "drain" is refused as LOG_UNAVAILABLE
    And entry 1 says that "drain" is PROPOSED

  Scenario: An agent paused across a closing wakes up stale and starts nothing
    When a caller submits "van" of 60 tasks at entry 1
    And 100 milliseconds pass
    And worker "sofia-1" is paused
    And operator "night" plans "drain sofia" at entry 1 as "drain"
    And operator "night" confirms "drain" at entry 1
    And 10 seconds pass
    And from here on it counts
    And worker "sofia-1" wakes up
    And 30 seconds pass
    Then 0 tasks started in "sofia" since it counts
    And every promise holds

  Scenario: Agents of the zone are out of reach of two entries while the zone is closed
    When entry 1 cannot reach worker "sofia-1"
    And entry 2 cannot reach worker "sofia-1"
    And operator "night" plans "drain sofia" at entry 1 as "drain"
    And operator "night" confirms "drain" at entry 1
    And 4 seconds pass
    And from here on it counts
    And a caller submits "van" of 60 tasks at entry 3
    And 20 seconds pass
    Then 0 tasks started in "sofia" since it counts
    And every promise holds

  Scenario: The answer to a confirmation is lost after the write took effect
    When operator "night" plans "drain sofia" at entry 1 as "drain"
    And every answer of the log is lost after the write
    And operator "night" confirms "drain" at entry 1
    And 6 seconds pass
    Then the confirmation of "drain" is accepted
    And the zone "sofia" is closed at entry 2

  Scenario: The log is out at the confirmation
    When operator "night" plans "drain sofia" at entry 1 as "drain"
    And the log is out
    And operator "night" confirms "drain" at entry 1
    And 15 seconds pass
    Then the confirmation of "drain" is refused as LOG_UNAVAILABLE
    When the log is back
    And 5 seconds pass
    Then entry 2 says that "drain" is PROPOSED

  Scenario: The log goes out right after it took a confirmation whose answer is lost
    When operator "night" plans "drain sofia" at entry 1 as "drain"
    And every answer of the log is lost after the write
    And operator "night" confirms "drain" at entry 1
    And 7 milliseconds pass
    And the log is out
    And 4 seconds pass
    And from here on it counts
    And a caller fetches a ticket "booking" from entry 2
    And a caller submits "booking" of 30 tasks at entry 2
    And 10 seconds pass
    Then every answer to "booking" is COMPLETED
    And 0 tasks started in "sofia" since it counts
    When the log answers again
    And the log is back
    And 5 seconds pass
    Then entry 2 says that "drain" is ACCEPTED
    And every promise holds
