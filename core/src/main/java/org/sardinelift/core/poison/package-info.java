/** Detection of requests that crash targets. */
@NullMarked
package org.sardinelift.core.poison;

import org.jspecify.annotations.NullMarked;
