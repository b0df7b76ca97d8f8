/** The companion role: a process beside a target through which all calls to it pass. */
@NullMarked
package org.sardinelift.companion;

import org.jspecify.annotations.NullMarked;
