/** The configuration that a gateway applies to its calls, and the targets that it sends them to. */
@NullMarked
package org.sardinelift.core.plan;

import org.jspecify.annotations.NullMarked;
