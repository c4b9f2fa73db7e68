/** Decisions that change state, as plain code without threads, message encoding or transport; callers pass the time. */
package org.gypsumflow.command;
