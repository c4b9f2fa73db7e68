Feature: Each caller gets the whole answer to its own request, whatever happens to connections

  Background:
    Given 2 entries and 2 workers in each of "plovdiv, sofia"

  Scenario: Many jobs at once each get their own answer
    When a caller submits "one" of 20 tasks at entry 1
    And a caller submits "two" of 20 tasks at entry 2
    And a caller submits "three" of 20 tasks at entry 1
    And a caller submits "four" of 20 tasks at entry 2
    And 10 seconds pass
    Then every answer to "one" is COMPLETED
    And every answer to "two" is COMPLETED
    And every answer to "three" is COMPLETED
    And every answer to "four" is COMPLETED
    And every promise holds

  Scenario: A connection goes silent in one direction with tasks in flight
    When a caller submits "van" of 30 tasks at entry 1
    And 150 milliseconds pass
    And the connections between entry 1 and worker "sofia-1" go silent in one direction
    And 19 seconds pass
    Then every answer to "van" is COMPLETED
    And 30 tasks of "van" started
    And every promise holds

  Scenario: A connection goes silent in both directions with tasks in flight
    When a caller submits "van" of 30 tasks at entry 1
    And 150 milliseconds pass
    And the connections between entry 1 and worker "sofia-1" go silent in both directions
    And the connections between entry 2 and worker "sofia-1" go silent in both directions
    And 19 seconds pass
    Then every answer to "van" is COMPLETED
    And 30 tasks of "van" started
    And every promise holds

  Scenario: An agent restarts with tasks in flight
    When a caller submits "van" of 30 tasks of 800 ms at entry 1
    And 500 milliseconds pass
    And worker "sofia-1" restarts
    And 19 seconds pass
    Then the last answer to "van" is MAY_HAVE_RUN
    And every promise holds
