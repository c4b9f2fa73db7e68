package org.gypsumflow.model;

/** The kind of an error; the names are part of the public HTTP interface. */
public enum ErrorCode {
    /** A field of the request is invalid. */
    INVALID_REQUEST,
    /** The body of the request is too large. */
    BODY_TOO_LARGE,
    /** The token is missing or unknown. */
    UNKNOWN_CALLER,
    /** The token belongs to a caller, but the request requires an operator. */
    NOT_AN_OPERATOR,
    /** The idempotency key was already used for another job. */
    KEY_REUSED,
    /** The ticket was not issued by this system or has expired. */
    BAD_TICKET,
    /** No target of the service is known. */
    NO_TARGET,
    /** An operator has stopped the service. */
    SERVICE_STOPPED,
    /** Too many tasks or claims are waiting. */
    OVERLOADED,
    /** The caller's quota is exhausted. */
    OVER_QUOTA,
    /** The deadline of the request passed. */
    TIMEOUT,
    /** The platform's log did not respond in time. */
    LOG_UNAVAILABLE,
    /** The process is draining and accepts no new requests. */
    LEAVING,
    /** The claim holder is no longer in service, and the agents do not know the outcomes of all tasks. */
    HOLDER_LOST,
    /** The requested object does not exist. */
    NOT_FOUND,
    /** This entry cannot reach enough other entries to act safely. */
    CUT_OFF,
    /** The request conflicts with an earlier one, such as an accepted configuration change. */
    CONFLICT,
    /** The plan closes the last capacity of a service, so its confirmation needs the override flag. */
    OVERRIDE_NEEDED,
    /** An internal error occurred. */
    INTERNAL
}
