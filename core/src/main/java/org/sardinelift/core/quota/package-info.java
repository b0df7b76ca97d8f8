/**
 * Limits of a team's rate and burst over all gateways, which report their admitted calls to each
 * other.
 */
@NullMarked
package org.sardinelift.core.quota;

import org.jspecify.annotations.NullMarked;
