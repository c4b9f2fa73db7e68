/** The operators' command-line tool; its commands are kept apart from its queries. */
package org.gypsumflow.cli;
