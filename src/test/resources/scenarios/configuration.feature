Feature: Every process applies an accepted configuration within seconds and never reverts it

  Scenario: Every process applies it within seconds
    Given 3 entries and 2 workers in each of "plovdiv, sofia, burgas"
    When operator "night" plans "stop bookings for upgrade" at entry 1 as "stop"
    Then entry 1 reports that "stop" is PROPOSED
    When operator "night" plans "drain sofia" at entry 1 as "drain"
    And operator "night" confirms "drain" at entry 2
    And 4 seconds pass
    Then entry 3 reports that "drain" is in force
    And every invariant holds

  Scenario: Every entry is restarted, one by one and then all at once, while old log records expire
    Given the log keeps records for 60 seconds and a snapshot is written every 15 seconds
    And 3 entries and 2 workers in each of "plovdiv, sofia, burgas"
    When operator "night" plans "drain sofia" at entry 1 as "drain"
    And operator "night" confirms "drain" at entry 1
    And 10 seconds pass
    And entry 1 is killed
    And entry 1 starts again
    And 40 seconds pass
    And entry 2 is killed
    And entry 2 starts again
    And 40 seconds pass
    And entry 3 is killed
    And entry 3 starts again
    And 40 seconds pass
    And every entry is killed at once
    And entry 1 starts again
    And entry 2 starts again
    And 40 seconds pass
    Then the zone "sofia" is closed at entry 1
    And the zone "sofia" is closed at entry 2
    And entry 2 reports that "drain" is in force

  Scenario: An entry isolated from the log and from its peers while a zone is drained
    Given 3 entries and 1 workers in each of "plovdiv, sofia"
    When entry 3 is cut off from the log and from the other entries
    And operator "night" plans "drain sofia" at entry 1 as "drain"
    And operator "night" confirms "drain" at entry 1
    And 4 seconds pass
    And starts are counted from here on
    And a caller submits "van" of 10 tasks at entry 2
    And 10 seconds pass
    Then every outcome of "van" is COMPLETED
    And 0 tasks started in "sofia" since counting began
