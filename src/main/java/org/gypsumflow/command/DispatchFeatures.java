package org.gypsumflow.command;

/**
 * The parts of the dispatcher that a deployment switches on in its settings. A part that is off changes no decision.
 *
 * @param overloadControl limits the jobs of an entry to what its processor can carry
 * @param jobBalancing hands jobs of a busy entry to one that has processor time to spare
 * @param capacitySharing shares the capacity of a service among routes and zones of callers when it is short
 * @param interferenceAvoidance keeps kinds of tasks apart that slow each other down on one worker
 * @param promptCallRecovery repeats elsewhere what a worker left unanswered while it answers other calls
 */
public record DispatchFeatures(
        boolean overloadControl,
        boolean jobBalancing,
        boolean capacitySharing,
        boolean interferenceAvoidance,
        boolean promptCallRecovery) {
    private static final DispatchFeatures NONE = new DispatchFeatures(false, false, false, false, false);

    /**
     * Returns the features of a deployment that switches none on.
     *
     * @return features that are all off
     */
    public static DispatchFeatures none() {
        return NONE;
    }

    // Cheaper than the generated method, which is linked at run time.
    @Override
    public String toString() {
        return "DispatchFeatures[overloadControl=" + overloadControl + ", jobBalancing=" + jobBalancing
                + ", capacitySharing=" + capacitySharing + ", interferenceAvoidance=" + interferenceAvoidance
                + ", promptCallRecovery=" + promptCallRecovery + "]";
    }
}
