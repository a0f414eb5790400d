package org.woadvale.foundation.watch;

/** A back end as the platform lists it; without an address it fetches. */
public record Processor(String address, boolean leaving) { }
