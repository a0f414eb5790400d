package org.woadvale.common.rpc;

/** Type ids of library types and frames, on the wire and on disk; they are never changed or reused. */
final class KryoTypeIds {
    static final int BYTE_ARRAY = 20;
    static final int ARRAY_LIST = 21;
    static final int HASH_MAP = 22;
    static final int TREE_MAP = 23;
    static final int DURATION = 24;
    static final int INSTANT = 25;
    static final int OPTIONAL = 26;
    static final int FRAME = 27;
    static final int FRAME_KIND = 28;
    static final int ERROR_RESPONSE = 29;
    static final int LINKED_HASH_MAP = 30;
    static final int TREE_SET = 31;

    private KryoTypeIds() {}
}
