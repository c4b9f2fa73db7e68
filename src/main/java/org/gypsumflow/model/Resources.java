package org.gypsumflow.model;

/**
 * An amount of CPU, memory and accelerators that a worker has or a task takes.
 *
 * @param cpuMillicores CPU, in thousandths of a core
 * @param memoryMegabytes memory, in megabytes
 * @param accelerators number of accelerators, such as GPUs
 */
public record Resources(int cpuMillicores, int memoryMegabytes, int accelerators) {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Creates an amount of resources.
     *
     * @param cpuMillicores CPU, in thousandths of a core
     * @param memoryMegabytes memory, in megabytes
     * @param accelerators number of accelerators, such as GPUs
     * @return the resources
     */
    public static Resources of(int cpuMillicores, int memoryMegabytes, int accelerators) {
        return new Resources(cpuMillicores, memoryMegabytes, accelerators);
    }

    /**
     * Adds other resources.
     *
     * @param other resources to add
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillicores + other.cpuMillicores,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /**
     * Subtracts other resources.
     *
     * @param other resources to subtract
     * @return the difference; its components may be negative
     */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillicores - other.cpuMillicores,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /**
     * Multiplies all components.
     *
     * @param factor factor to multiply by
     * @return the product
     */
    public Resources times(int factor) {
        return new Resources(cpuMillicores * factor, memoryMegabytes * factor, accelerators * factor);
    }

    /**
     * Returns whether other resources fit into these.
     *
     * @param other resources that are required
     * @return true if each component of this amount is at least as large
     */
    public boolean canFit(Resources other) {
        return cpuMillicores >= other.cpuMillicores
                && memoryMegabytes >= other.memoryMegabytes
                && accelerators >= other.accelerators;
    }
}
