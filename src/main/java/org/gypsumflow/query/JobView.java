package org.gypsumflow.query;

import org.gypsumflow.model.Verdict;

/**
 * The state of a submission at one entry; the components are written to HTTP responses under their own names.
 *
 * @param submission digest of the submission, in hexadecimal
 * @param standing status of the job, "running" or "ended"
 * @param verdict verdict of the job once it has ended, else null
 * @param reason why the job did not complete, else empty
 * @param tasks number of tasks
 */
public record JobView(String submission, String standing, Verdict verdict, String reason, int tasks) {}
