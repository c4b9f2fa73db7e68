package org.gypsumflow.model;

/**
 * A process of the system, an entry or an agent, with the address at which the other members connect to it.
 *
 * @param name name of the member, which is that of its host
 * @param role role of the process
 * @param zone availability zone of the host
 * @param host IP address on which the process listens
 * @param port TCP port on which the process listens
 */
public record Member(MemberName name, Role role, AvailabilityZone zone, String host, int port) {
    /** The role of a process in the system. */
    public enum Role {
        /** Accepts jobs from callers and assigns their tasks to agents. */
        ENTRY,
        /** Runs tasks on the worker of its host. */
        AGENT
    }

    /**
     * Returns this member with another port, for a process that listens on a port chosen by the operating system.
     *
     * @param boundPort TCP port on which the process listens
     * @return a copy of this member with that port
     */
    public Member withPort(int boundPort) {
        return new Member(name, role, zone, host, boundPort);
    }
}
