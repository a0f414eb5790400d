package org.woadvale.common.rpc;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The format of stored and sent records that introduced this component; such components are always the last ones of a
 * record (docs/design.md, section 3.4).
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Since {
    /** The number of the format. */
    int value();
}
