/** Client of the target, with its health and its loaded models. */
@NullMarked
package org.sardinelift.companion.target;

import org.jspecify.annotations.NullMarked;
