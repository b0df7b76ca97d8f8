/** A model of the load on a fleet, in virtual time, that plays the product's own decisions. */
@NullMarked
package org.sardinelift.bench.model;

import org.jspecify.annotations.NullMarked;
