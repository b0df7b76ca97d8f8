/** Stand-ins for the platform and the targets, run as processes or within tests. */
@NullMarked
package org.sardinelift.standins;

import org.jspecify.annotations.NullMarked;
