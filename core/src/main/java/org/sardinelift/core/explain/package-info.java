/** Records of decisions and their reasons, and the status of teams and jobs for operators. */
@NullMarked
package org.sardinelift.core.explain;

import org.jspecify.annotations.NullMarked;
