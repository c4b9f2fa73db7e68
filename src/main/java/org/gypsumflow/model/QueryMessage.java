package org.gypsumflow.model;

/** A message that reads state of the receiving process and does not change it. */
public sealed interface QueryMessage extends Message {

    /**
     * Asks an agent which tasks of a submission have started there.
     *
     * @param request id that the reply repeats
     * @param submission digest of the submission
     */
    record FindTasks(RequestId request, SubmissionDigest submission) implements QueryMessage {}
}
