/** Serving path without companions: gateways forward calls to targets, workers run batch jobs. */
@NullMarked
package org.sardinelift.gateway;

import org.jspecify.annotations.NullMarked;
