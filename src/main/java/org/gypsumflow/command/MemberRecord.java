package org.gypsumflow.command;

import org.gypsumflow.model.EntryAddress;

/**
 * A record of the members stream.
 *
 * @param entry entry that announces itself
 * @param draining true if it goes out of service
 */
public record MemberRecord(EntryAddress entry, boolean draining) {}
