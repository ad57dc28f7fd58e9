//! Ordinary least squares with the standard errors of the coefficients.

/// One measured point: the value at some sizes.
#[derive(Debug, Clone, PartialEq)]
pub struct Point {
    /// Sizes, such as `[1, routers, runners]`; all points have the same number.
    pub sizes: Vec<f64>,
    /// Measured value.
    pub value: f64,
}

/// A coefficient of the fit.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub struct Coefficient {
    /// Growth of the value for one unit of its size.
    pub value: f64,
    /// Standard error.
    pub error: f64,
}

/// `value = sum of coefficient * size`, fitted.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Fit {
    /// One for each size of the points.
    pub coefficients: Vec<Coefficient>,
}

type Matrix = Vec<Vec<f64>>;

/// Pivots below this mean that the sizes do not tell the coefficients apart.
const SMALLEST_PIVOT: f64 = 1e-12;

impl Fit {
    /// Fits; `None` when there are too few points, or the sizes can't be told apart.
    #[must_use]
    pub fn of(points: &[Point]) -> Option<Self> {
        let width = points.first()?.sizes.len();
        let freedom = points.len().checked_sub(width).filter(|left| *left > 0)?;
        let inverse = invert(normal_matrix(points, width))?;
        let moments: Vec<f64> = (0..width)
            .map(|row| points.iter().map(|one| one.sizes[row] * one.value).sum())
            .collect();
        let values: Vec<f64> = inverse.iter().map(|row| product(row, &moments)).collect();
        let rests = points
            .iter()
            .map(|one| one.value - product(&one.sizes, &values));
        let variance = rests.map(|rest| rest * rest).sum::<f64>() / freedom as f64;
        let coefficients = values.iter().enumerate().map(|(row, value)| Coefficient {
            value: *value,
            error: (variance * inverse[row][row]).max(0.0).sqrt(),
        });
        Some(Self {
            coefficients: coefficients.collect(),
        })
    }

    /// Value at some sizes.
    #[must_use]
    pub fn at(&self, sizes: &[f64]) -> f64 {
        let values: Vec<f64> = self.coefficients.iter().map(|one| one.value).collect();
        product(&values, sizes)
    }
}

fn product(left: &[f64], right: &[f64]) -> f64 {
    left.iter().zip(right).map(|(one, other)| one * other).sum()
}

fn normal_matrix(points: &[Point], width: usize) -> Matrix {
    let entry = |row: usize, column: usize| {
        let products = points.iter().map(|one| one.sizes[row] * one.sizes[column]);
        products.sum()
    };
    (0..width)
        .map(|row| (0..width).map(|column| entry(row, column)).collect())
        .collect()
}

/// Inverse of a square matrix by Gauss and Jordan, with row pivots.
fn invert(mut matrix: Matrix) -> Option<Matrix> {
    let width = matrix.len();
    for (row, line) in matrix.iter_mut().enumerate() {
        line.extend((0..width).map(|column| f64::from(u8::from(column == row))));
    }
    for column in 0..width {
        let pivot = (column..width).max_by(|one, other| {
            let (one, other) = (matrix[*one][column].abs(), matrix[*other][column].abs());
            one.total_cmp(&other)
        })?;
        matrix.swap(column, pivot);
        let scale = matrix[column][column];
        if scale.abs() < SMALLEST_PIVOT {
            return None;
        }
        matrix[column].iter_mut().for_each(|entry| *entry /= scale);
        let pivot_row = matrix[column].clone();
        for row in (0..width).filter(|row| *row != column) {
            let factor = matrix[row][column];
            let entries = matrix[row].iter_mut().zip(&pivot_row);
            entries.for_each(|(entry, pivot)| *entry -= factor * pivot);
        }
    }
    Some(
        matrix
            .into_iter()
            .map(|line| line[width..].to_vec())
            .collect(),
    )
}
