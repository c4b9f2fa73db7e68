Feature: A few seconds after an operator drains an availability zone, no task starts there

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
    And the confirmation of "open" is rejected with CONFLICT
    And the zone "sofia" is closed at entry 3
    And entry 3 reports that "drain" is in force

  Scenario: Two operators confirm at the same time and only one confirmation is accepted
    When operator "night" plans "drain sofia" at entry 1 as "left"
    And operator "day" plans "drain burgas" at entry 2 as "right"
    And operator "night" confirms "left" at entry 1
    And operator "day" confirms "right" at entry 2
    And 5 seconds pass
    Then the confirmation of "left" is accepted
    And the confirmation of "right" is rejected with CONFLICT
    And every invariant holds

  Scenario: Other zones keep running tasks while a zone is drained
    When operator "night" plans "drain sofia" at entry 1 as "drain"
    And operator "night" confirms "drain" at entry 1
    And 4 seconds pass
    And starts are counted from here on
    And a caller submits "van" of 30 tasks at entry 2
    And 10 seconds pass
    Then every outcome of "van" is COMPLETED
    And 0 tasks started in "sofia" since counting began
    And every invariant holds

  Scenario: A zone that is opened again gets tasks again
    When operator "night" plans "drain sofia" at entry 1 as "drain"
    And operator "night" confirms "drain" at entry 1
    And 4 seconds pass
    And operator "night" plans "open sofia" at entry 2 as "open"
    And operator "night" confirms "open" at entry 2
    And 4 seconds pass
    And starts are counted from here on
    And a caller submits "van" of 40 tasks at entry 2
    And 10 seconds pass
    Then every outcome of "van" is COMPLETED
    And some tasks started in "sofia" since counting began

  Scenario: An entry is isolated from the log and from its peers while a zone is closed
    When entry 3 is cut off from the log and from the other entries
    And operator "night" plans "drain sofia" at entry 1 as "drain"
    And operator "night" confirms "drain" at entry 1
    And 4 seconds pass
    And starts are counted from here on
    And a caller fetches a ticket "booking" from entry 3
    And a caller submits "booking" of 20 tasks at entry 3
    And 25 seconds pass
    Then the confirmation of "drain" is accepted
    And 0 tasks started in "sofia" since counting began

  Scenario: An isolated entry does not accept a confirmation
    When operator "night" plans "drain sofia" at entry 3 as "drain"
    And entry 3 is cut off from the log and from the other entries
    And 5 seconds pass
    And operator "night" confirms "drain" at entry 3
    And 15 seconds pass
    Then the confirmation of "drain" is rejected with LOG_UNAVAILABLE
    And entry 1 reports that "drain" is PROPOSED

  Scenario: An agent paused while its zone is closed starts no task after it resumes
    When a caller submits "van" of 60 tasks at entry 1
    And 100 milliseconds pass
    And worker "sofia-1" is paused
    And operator "night" plans "drain sofia" at entry 1 as "drain"
    And operator "night" confirms "drain" at entry 1
    And 10 seconds pass
    And starts are counted from here on
    And worker "sofia-1" resumes
    And 30 seconds pass
    Then 0 tasks started in "sofia" since counting began
    And every invariant holds

  Scenario: Two entries cannot reach an agent of a zone while the zone is closed
    When entry 1 cannot reach worker "sofia-1"
    And entry 2 cannot reach worker "sofia-1"
    And operator "night" plans "drain sofia" at entry 1 as "drain"
    And operator "night" confirms "drain" at entry 1
    And 4 seconds pass
    And starts are counted from here on
    And a caller submits "van" of 60 tasks at entry 3
    And 20 seconds pass
    Then 0 tasks started in "sofia" since counting began
    And every invariant holds

  Scenario: The log response to a confirmation is lost after the write took effect
    When operator "night" plans "drain sofia" at entry 1 as "drain"
    And every response of the log is lost after the write
    And operator "night" confirms "drain" at entry 1
    And 6 seconds pass
    Then the confirmation of "drain" is accepted
    And the zone "sofia" is closed at entry 2

  Scenario: The log is unavailable at the confirmation
    When operator "night" plans "drain sofia" at entry 1 as "drain"
    And the log is unavailable
    And operator "night" confirms "drain" at entry 1
    And 15 seconds pass
    Then the confirmation of "drain" is rejected with LOG_UNAVAILABLE
    When the log is available again
    And 5 seconds pass
    Then entry 2 reports that "drain" is PROPOSED

  Scenario: The log becomes unavailable right after it stored a confirmation whose response is lost
    When operator "night" plans "drain sofia" at entry 1 as "drain"
    And every response of the log is lost after the write
    And operator "night" confirms "drain" at entry 1
    And 7 milliseconds pass
    And the log is unavailable
    And 4 seconds pass
    And starts are counted from here on
    And a caller fetches a ticket "booking" from entry 2
    And a caller submits "booking" of 30 tasks at entry 2
    And 10 seconds pass
    Then every outcome of "booking" is COMPLETED
    And 0 tasks started in "sofia" since counting began
    When responses of the log arrive again
    And the log is available again
    And 5 seconds pass
    Then entry 2 reports that "drain" is ACCEPTED
    And every invariant holds
