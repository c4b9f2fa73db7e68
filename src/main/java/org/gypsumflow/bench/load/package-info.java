/**
 * A model of workers on a virtual clock, in which the real decisions on jobs meet named patterns of load. Figures are
 * ratios to compare rules with; the platform confirms them.
 */
package org.gypsumflow.bench.load;
