/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import io.undertow.util.HttpString;
import java.util.List;
import java.util.function.Function;
import org.larkkeel.http.upstream.WholeAnswer;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RateNotice;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.UpstreamNotice;

/**
 * Tells the router what upstreams say of themselves in their answers, whatever these are to.
 *
 * <p>Safe for use by several threads.
 */
final class NoticeReader {
  private static final int MISDIRECTED_REQUEST = 421;

  private final RelayLoop loop;
  private final RelayDialect dialect;

  NoticeReader(RelayLoop loop, RelayDialect dialect) {
    this.loop = loop;
    this.dialect = dialect;
  }

  /** The time that notices carry. */
  long now() {
    return loop.now();
  }

  /**
   * Reads the head of an answer to a request. One of another life that has the address says nothing
   * of the life that was asked.
   *
   * @param asked the life that was asked
   * @param sentAt when the request was sent
   * @param status the status
   * @param headers the values of a header; null or empty if there is none
   * @param isOwn whether it is the answer to this request, as far as can be told
   */
  void read(
      UpstreamLife asked,
      long sentAt,
      int status,
      Function<HttpString, List<String>> headers,
      boolean isOwn) {
    if (status == MISDIRECTED_REQUEST) {
      return;
    }
    UpstreamNotice read = dialect.notice(status, headers);
    UpstreamNotice notice = isOwn ? read : read.withoutEndOfLimit();
    if (!notice.isEmpty() || (endsLimit(notice) && loop.isRateLimited(asked))) {
      loop.submit(new RelayEvent.Noticed(loop.now(), asked, sentAt, notice));
    }
  }

  /**
   * As the other, of a whole answer to what is no request of a caller. That it names no limit does
   * not show that requests have none.
   */
  void read(UpstreamLife asked, long sentAt, WholeAnswer.Answer answer) {
    read(asked, sentAt, answer.status(), name -> answer.headers().get(name), false);
  }

  private static boolean endsLimit(UpstreamNotice notice) {
    return notice.rate() instanceof RateNotice.Unlimited;
  }
}
