/** The demonstration, the benchmark of control traffic and the training run; nothing else depends on them. */
package org.gypsumflow.bench;
