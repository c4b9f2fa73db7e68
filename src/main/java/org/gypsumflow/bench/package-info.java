/** The demonstration and the measuring tool; nothing else depends on them. */
package org.gypsumflow.bench;
