Feature: What must never happen, under what fails

  Every scenario ends healed, with every accepted message asked for until it has ended,
  and with the whole never-list checked from what callers, back ends and operators saw.

  Scenario: An ordinary day
    Given a fleet of 3 intakes and 3 stores under 30 messages a second
    When 20 seconds pass
    Then at least 300 messages were accepted and every one has ended
    And nothing that must never happen has happened

  Scenario Outline: <what> under traffic
    Given a fleet of 3 intakes and 3 stores under 30 messages a second
    When <what>
    And 8 seconds pass
    And all is healed
    Then at least 200 messages were accepted and every one has ended
    And nothing that must never happen has happened

    Examples:
      | what                                      |
      | an intake is killed                       |
      | the holder of an allowance is killed      |
      | a store loses power                       |
      | a control node is killed                    |
      | an intake is cut off                      |
      | a store is cut off one way                |
      | everything loses power and is restarted   |
      | a key is withdrawn while an intake is cut off |
      | two layouts race and a bad one comes along |
      | a processor is marked as leaving          |
      | back ends lose half of their answers      |
