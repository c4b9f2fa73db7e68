package org.gypsumflow.model;

/**
 * An entry with the address at which the other entries and the agents connect to it.
 *
 * @param name name of the entry, from its settings
 * @param incarnation current incarnation of the entry
 * @param zone availability zone in which the entry runs
 * @param host IP address on which the entry listens
 * @param port TCP port on which the entry listens
 */
public record EntryAddress(EntryName name, Incarnation incarnation, AvailabilityZone zone, String host, int port) {
    /**
     * Creates the address of an entry.
     *
     * @param name name of the entry, from its settings
     * @param incarnation current incarnation of the entry
     * @param zone availability zone in which the entry runs
     * @param host IP address on which the entry listens
     * @param port TCP port on which the entry listens
     * @return the address
     */
    public static EntryAddress of(
            EntryName name, Incarnation incarnation, AvailabilityZone zone, String host, int port) {
        return new EntryAddress(name, incarnation, zone, host, port);
    }
}
