"""News is told at once and again, and what was told already is none."""

from masticpost_gateway.sharing import outbox, pacing, toldanswers


def test_row_is_told_at_once_and_twice_again():
    box = outbox.Outbox()
    assert box.put("a", 1, 10.0)
    told_at = [now / 10 for now in range(100, 160) if box.take(now / 10)]
    assert told_at == [10.0, 11.0, 12.5]


def test_same_row_is_no_news_and_a_changed_one_is():
    box = outbox.Outbox()
    box.put("a", 1, 10.0)
    box.take(10.0)
    assert not box.put("a", 1, 10.5)
    assert box.take(10.5) == []
    assert box.put("a", 2, 10.6)
    assert box.take(10.6) == [2]


def test_message_has_a_bounded_number_of_rows():
    box = outbox.Outbox()
    for number in range(2 * outbox.MAX_ROWS):
        box.put(number, number, 1.0)
    assert len(box.take(1.0)) == outbox.MAX_ROWS
    assert len(box.take(1.1)) == outbox.MAX_ROWS
    assert box.take(1.2) == []


def test_oldest_rows_are_dropped_and_counted_beyond_the_limit():
    box = outbox.Outbox()
    for number in range(outbox.MAX_WAITING + 3):
        box.put(number, number, 1.0)
    assert box.dropped == 3


def test_answer_soon_after_one_that_was_told_is_no_news():
    told = toldanswers.ToldAnswers(interval_s=lambda key: 0.5, repeated_s=3.0, most=10)
    assert told.is_news("a", 1.0, 1.0)
    assert not told.is_news("a", 1.4, 1.4)
    assert told.is_news("a", 1.6, 1.6)
    assert told.is_news("a", 1.6, 4.7)


async def test_messages_keep_their_distance_and_verdicts_are_in_time():
    pace = pacing.Pace(min_period_s=0.2, max_period_s=1.0)
    pace.wake()
    assert await pace.wait(None)
    pace.wake()
    assert not await pace.wait(0.01)
    assert await pace.wait(None)
