/** Speaks the users' platform: its names, formats and calls, translated once into types of ours. Decides nothing. */
package org.gypsumflow.platform;
