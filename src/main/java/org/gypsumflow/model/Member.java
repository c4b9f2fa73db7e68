package org.gypsumflow.model;

/**
 * Where a process of the system is reached by the others.
 *
 * @param name its host
 * @param role what it does
 * @param zone its availability zone
 * @param host IP number on which it listens
 * @param port TCP port on which it listens
 */
public record Member(MemberName name, Role role, AvailabilityZone zone, String host, int port) {
    /** What a process does. */
    public enum Role {
        /** Takes jobs from callers. */
        ENTRY,
        /** Starts tasks on the worker beside it. */
        AGENT
    }

    /**
     * Changes the port.
     *
     * @param actual TCP port on which it listens
     * @return the process at that port
     */
    public Member withPort(int actual) {
        return new Member(name, role, zone, host, actual);
    }
}
