Feature: Each caller gets the complete result of its own job when connections fail

  Background:
    Given 2 entries and 2 workers in each of "plovdiv, sofia"

  Scenario: Concurrent jobs each get their own outcome
    When a caller submits "one" of 20 tasks at entry 1
    And a caller submits "two" of 20 tasks at entry 2
    And a caller submits "three" of 20 tasks at entry 1
    And a caller submits "four" of 20 tasks at entry 2
    And 10 seconds pass
    Then every outcome of "one" is COMPLETED
    And every outcome of "two" is COMPLETED
    And every outcome of "three" is COMPLETED
    And every outcome of "four" is COMPLETED
    And every invariant holds

  Scenario: A connection drops all messages in one direction while tasks run
    When a caller submits "van" of 30 tasks at entry 1
    And 150 milliseconds pass
    And the connections between entry 1 and worker "sofia-1" drop all messages in one direction
    And 19 seconds pass
    Then every outcome of "van" is COMPLETED
    And 30 tasks of "van" started
    And every invariant holds

  Scenario: Connections drop all messages in both directions while tasks run
    When a caller submits "van" of 30 tasks at entry 1
    And 150 milliseconds pass
    And the connections between entry 1 and worker "sofia-1" drop all messages in both directions
    And the connections between entry 2 and worker "sofia-1" drop all messages in both directions
    And 19 seconds pass
    Then every outcome of "van" is COMPLETED
    And 30 tasks of "van" started
    And every invariant holds

  Scenario: An agent restarts while tasks run
    When a caller submits "van" of 30 tasks of 800 ms at entry 1
    And 500 milliseconds pass
    And worker "sofia-1" restarts
    And 19 seconds pass
    Then the last outcome of "van" is MAY_HAVE_RUN
    And every invariant holds
