Feature: What is leaving gets no new work, and a graceful shutdown cuts no request in flight

  Background:
    Given 3 entries and 2 workers in each of "plovdiv, sofia, burgas"

  Scenario: A target that is leaving gets no new work after a few seconds
    When the target of worker "sofia-1" is leaving
    And 2 seconds pass
    And from here on it counts
    And a caller submits "van" of 60 tasks at entry 1
    And 10 seconds pass
    Then every answer to "van" is COMPLETED
    And 0 tasks started on worker "sofia-1" since it counts

  Scenario: A late announcement does not bring a leaving target back, a later one does
    When the target of worker "sofia-1" is leaving
    And 1 seconds pass
    And the target of worker "sofia-1" announces itself
    And 2 seconds pass
    And from here on it counts
    And a caller submits "van" of 60 tasks at entry 1
    And 10 seconds pass
    Then 0 tasks started on worker "sofia-1" since it counts
    When the target of worker "sofia-1" announces itself
    And 2 seconds pass
    And a caller submits "quote" of 100 tasks at entry 1
    And 10 seconds pass
    Then some tasks started in "sofia" since it counts
    And every promise holds

  Scenario: An entry shuts down under load
    When a caller submits "van" of 60 tasks at entry 1
    And a caller submits "quote" of 60 tasks at entry 1
    And 100 milliseconds pass
    And entry 1 is asked to leave
    And 20 seconds pass
    Then every answer to "van" is COMPLETED
    And every answer to "quote" is COMPLETED
    And every promise holds

  Scenario: Every entry is asked to leave, one after the other, under load
    When a caller submits "van" of 60 tasks at entry 1
    And a caller submits "quote" of 60 tasks at entry 2
    And entry 1 is asked to leave
    And 5 seconds pass
    And entry 1 starts again
    And 5 seconds pass
    And entry 2 is asked to leave
    And 20 seconds pass
    Then every answer to "van" is COMPLETED
    And every answer to "quote" is COMPLETED
    And every promise holds

  Scenario: A worker shuts down under load
    When a caller submits "van" of 60 tasks at entry 1
    And 100 milliseconds pass
    And worker "sofia-1" is asked to leave
    And 10 seconds pass
    Then every answer to "van" is COMPLETED
    And every promise holds

  Scenario: A worker and an entry leave together while the log is out
    When a caller submits "van" of 60 tasks at entry 1
    And 300 milliseconds pass
    And the log is out
    And worker "sofia-1" is asked to leave
    And entry 1 is asked to leave
    And 15 seconds pass
    And the log is back
    And 10 seconds pass
    Then every answer to "van" is COMPLETED
    And every promise holds
