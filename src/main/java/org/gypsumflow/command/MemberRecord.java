package org.gypsumflow.command;

import org.gypsumflow.model.EntryAddress;

/**
 * A record of the members stream, in which entries announce themselves.
 *
 * @param entry address of the entry that announces itself
 * @param draining true if the entry takes no new work and goes out of service
 */
public record MemberRecord(EntryAddress entry, boolean draining) {}
