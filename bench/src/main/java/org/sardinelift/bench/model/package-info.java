/** Simulation of a fleet under load, in virtual time, with the product's own decisions. */
@NullMarked
package org.sardinelift.bench.model;

import org.jspecify.annotations.NullMarked;
