Feature: Draining processes and deregistered targets get no new tasks, and a graceful shutdown drops no request

  Background:
    Given 3 entries and 2 workers in each of "plovdiv, sofia, burgas"

  Scenario: A deregistered target gets no new tasks after a few seconds
    When the target of worker "sofia-1" deregisters
    And 2 seconds pass
    And starts are counted from here on
    And a caller submits "van" of 60 tasks at entry 1
    And 10 seconds pass
    Then every outcome of "van" is COMPLETED
    And 0 tasks started on worker "sofia-1" since counting began

  Scenario: A target that registers again soon after it deregistered stays out, a later registration takes effect
    When the target of worker "sofia-1" deregisters
    And 1 seconds pass
    And the target of worker "sofia-1" registers again
    And 2 seconds pass
    And starts are counted from here on
    And a caller submits "van" of 60 tasks at entry 1
    And 10 seconds pass
    Then 0 tasks started on worker "sofia-1" since counting began
    When the target of worker "sofia-1" registers again
    And 2 seconds pass
    And a caller submits "quote" of 100 tasks at entry 1
    And 10 seconds pass
    Then some tasks started in "sofia" since counting began
    And every invariant holds

  Scenario: An entry shuts down under load
    When a caller submits "van" of 60 tasks at entry 1
    And a caller submits "quote" of 60 tasks at entry 1
    And 100 milliseconds pass
    And entry 1 is shut down gracefully
    And 20 seconds pass
    Then every outcome of "van" is COMPLETED
    And every outcome of "quote" is COMPLETED
    And every invariant holds

  Scenario: Entries shut down one after the other under load
    When a caller submits "van" of 60 tasks at entry 1
    And a caller submits "quote" of 60 tasks at entry 2
    And entry 1 is shut down gracefully
    And 5 seconds pass
    And entry 1 starts again
    And 5 seconds pass
    And entry 2 is shut down gracefully
    And 20 seconds pass
    Then every outcome of "van" is COMPLETED
    And every outcome of "quote" is COMPLETED
    And every invariant holds

  Scenario: A worker shuts down under load
    When a caller submits "van" of 60 tasks at entry 1
    And 100 milliseconds pass
    And worker "sofia-1" is shut down gracefully
    And 10 seconds pass
    Then every outcome of "van" is COMPLETED
    And every invariant holds

  Scenario: A worker and an entry shut down together while the log is unavailable
    When a caller submits "van" of 60 tasks at entry 1
    And 300 milliseconds pass
    And the log is unavailable
    And worker "sofia-1" is shut down gracefully
    And entry 1 is shut down gracefully
    And 15 seconds pass
    And the log is available again
    And 10 seconds pass
    Then every outcome of "van" is COMPLETED
    And every invariant holds
