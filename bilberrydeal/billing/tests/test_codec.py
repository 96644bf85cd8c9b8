"""Encoding of rows with figures, and decoding of older rows."""

import pytest

from bilberrydeal import billing
from bilberrydeal import ports
from bilberrydeal import store
from bilberrydeal.billing import _rows

FIGURES = {
    "russo": ports.OrganisationFigures(7, 2, 40, 3),
    "other": ports.OrganisationFigures(0, 0, 0, 1),
}
ADJUSTMENTS = (_rows.Adjustment(8, FIGURES),)
USAGE = billing.UsageRow(FIGURES, ADJUSTMENTS, "n")
SEAL = billing.SealRow(9, FIGURES, ADJUSTMENTS, 1.5, 7, "n")


@pytest.mark.parametrize("row", [USAGE, billing.UsageRow()])
def test_usage_row_decodes_from_both_formats(row: billing.UsageRow) -> None:
    assert billing.decode_usage(billing.encode(row)) == row
    assert billing.decode_usage(store.encode(row)) == row


def test_seal_decodes_from_both_formats() -> None:
    assert billing.decode_seal(billing.encode(SEAL)) == SEAL
    assert billing.decode_seal(store.encode(SEAL)) == SEAL


def test_figures_are_encoded_without_field_names() -> None:
    for row in (USAGE, SEAL):
        assert b"output_tokens" not in billing.encode(row)


@pytest.mark.parametrize(
    "figures", ["[1,2,3]", "[1,2,3,4,5]", '["1",2,3,4]', '{"calls":"1"}', "7"]
)
def test_invalid_figures_are_rejected(figures: str) -> None:
    data = f'{{"figures":{{"russo":{figures}}}}}'.encode()
    with pytest.raises(store.RowInvalid):
        billing.decode_usage(data)
