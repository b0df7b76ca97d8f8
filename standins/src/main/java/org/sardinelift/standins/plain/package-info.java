/** Stand-in for a plain service, which counts the effects of its calls. */
@NullMarked
package org.sardinelift.standins.plain;

import org.jspecify.annotations.NullMarked;
