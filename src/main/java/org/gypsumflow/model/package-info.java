/** Value types, messages between processes, verdicts and numbered events; depends on no other package of the system. */
package org.gypsumflow.model;
