package org.gypsumflow.model;

/** A message between two processes of the system, independent of its encoding. */
public sealed interface Message permits CommandMessage, QueryMessage, ReportMessage, BestEffortMessage {}
