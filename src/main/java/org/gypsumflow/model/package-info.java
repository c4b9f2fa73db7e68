/** Value types, messages between processes, verdicts and numbered events; depends on nothing else of ours. */
package org.gypsumflow.model;
