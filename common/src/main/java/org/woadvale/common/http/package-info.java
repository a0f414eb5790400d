/** HTTP without a library in its types: requests, responses, a router, and a server over Reactor Netty. */
package org.woadvale.common.http;
