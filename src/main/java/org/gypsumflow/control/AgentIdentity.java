package org.gypsumflow.control;

import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.WorkerName;

/**
 * Identity of one run of an agent process.
 *
 * @param worker worker that the agent serves
 * @param incarnation incarnation of the agent process
 * @param zone availability zone of the worker
 */
public record AgentIdentity(WorkerName worker, Incarnation incarnation, AvailabilityZone zone) {}
