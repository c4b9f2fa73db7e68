package org.gypsumflow.model;

/**
 * An amount of what a worker has and a task needs.
 *
 * @param cpuMillicores processors, in thousandths of a core
 * @param memoryMegabytes memory, in megabytes
 * @param accelerators number of accelerators
 */
public record Resources(int cpuMillicores, int memoryMegabytes, int accelerators) {
    /** Nothing at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Creates an amount.
     *
     * @param processorMillis processors, in thousandths of a core
     * @param memoryMegabytes memory, in megabytes
     * @param accelerators number of accelerators
     * @return the amount
     */
    public static Resources of(int processorMillis, int memoryMegabytes, int accelerators) {
        return new Resources(processorMillis, memoryMegabytes, accelerators);
    }

    /**
     * Adds another amount.
     *
     * @param other what is added
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillicores + other.cpuMillicores,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /**
     * Takes another amount away; the result may be negative.
     *
     * @param other what is taken away
     * @return the difference
     */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillicores - other.cpuMillicores,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /**
     * Multiplies the amount.
     *
     * @param factor how many times
     * @return the product
     */
    public Resources times(int factor) {
        return new Resources(cpuMillicores * factor, memoryMegabytes * factor, accelerators * factor);
    }

    /**
     * Tells whether another amount fits into this one.
     *
     * @param other what should fit
     * @return true if it fits in every respect
     */
    public boolean canFit(Resources other) {
        return cpuMillicores >= other.cpuMillicores
                && memoryMegabytes >= other.memoryMegabytes
                && accelerators >= other.accelerators;
    }
}
