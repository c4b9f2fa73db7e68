/** The operators' command-line tool; its commands apart from its queries. */
package org.gypsumflow.cli;
